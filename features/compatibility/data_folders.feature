Feature: data folders that earlier versions wrote can still be read

  The folders under features/compatibility/data/folders were written once and are kept as bytes.
  A name or type of a stored record that changes makes them unreadable, and nodes with them.

  Scenario: a native replica's folder
    Given a copy of the kept data folder "native-replica"
    When this version opens the folder
    Then the folder keeps its identity "1269047479c33b1ef313faab16f373d5"
    And group 0 voted in term 4 and holds a log behind entry 42
    And group 3 voted in term 4 and holds a log behind entry 19
    And each entry of its logs is encoded to the same bytes again
    And each of its snapshots is made again with the same bytes
    And the state of snapshot and log survives a snapshot of its own
    And the log of group 0 holds every kind of command of a native group
    And the snapshot of group 0 holds every kind of record of a native snapshot
    And an operator reads this of group 0
      """
      revision 30, in force 5
      resource Adapter/adapter-first at 4, spec 4
      resource Adapter/adapter-second at 20, spec 20
      resource Gateway/gateway-first at 7, spec 7
      resource Gateway/gateway-second at 23, spec 23
      resource ModelVersion/modelversion-first at 3, spec 3
      resource ModelVersion/modelversion-second at 19, spec 19
      resource Runner/runner-first at 9, spec 6
      resource Runner/runner-second at 25, spec 22
      resource Service/service-first at 10, spec 2
      resource Service/service-second at 26, spec 18
      resource Session/session-first at 13, spec 5
      resource Session/session-second at 28, spec 21
      resource Tenant/tenant-first at 1, spec 1
      resource Tenant/tenant-second at 17, spec 17
      runner at http://10.0.0.7:8000 in south/south-a: mixed, drain True, 12 batch slots, loaded version-first, loading next-first, adapters adapter-first, fence 9, ready True, reachable False
      runner at http://10.0.0.7:8000 in south/south-a: mixed, drain True, 12 batch slots, loaded version-second, loading next-second, adapters adapter-second, fence 9, ready True, reachable False
      session session-first: gateway-b on runner-first, fence 2, request-first: How are you? Well.
      session session-second: gateway-b on runner-second, fence 2, request-second: How are you? Well.
      job cancelled-first of tenant-first cancelled: 0 pending, 0 leased, 0 completed, 0 set aside, 2 cancelled
      item 0 item one cancelled: '' 'the job was cancelled'
      item 1 item two cancelled: '' 'the job was cancelled'
      job cancelled-second of tenant-second cancelled: 0 pending, 0 leased, 0 completed, 0 set aside, 2 cancelled
      item 0 item one cancelled: '' 'the job was cancelled'
      item 1 item two cancelled: '' 'the job was cancelled'
      job job-first of tenant-first sealed: 2 pending, 1 leased, 1 completed, 1 set aside, 0 cancelled
      item 0 item done completed: 'the whole text' ''
      item 1 item given up set_aside: '' 'the engine refused the prompt'
      job job-second of tenant-second sealed: 2 pending, 1 leased, 1 completed, 1 set aside, 0 cancelled
      item 0 item done completed: 'the whole text' ''
      item 1 item given up set_aside: '' 'the engine refused the prompt'
      holder gateway-a/first: job-first/3 fence 4
      holder gateway-a/second: job-second/3 fence 9
      backlog service-first: 2
      backlog service-second: 2
      """
    And an operator reads this of group 3
      """
      revision 0, in force 0
      job cancelled-first of tenant-first cancelled: 0 pending, 0 leased, 0 completed, 0 set aside, 2 cancelled
      item 0 item one cancelled: '' 'the job was cancelled'
      item 1 item two cancelled: '' 'the job was cancelled'
      job cancelled-second of tenant-second cancelled: 0 pending, 0 leased, 0 completed, 0 set aside, 2 cancelled
      item 0 item one cancelled: '' 'the job was cancelled'
      item 1 item two cancelled: '' 'the job was cancelled'
      job job-first of tenant-first sealed: 2 pending, 1 leased, 1 completed, 1 set aside, 0 cancelled
      item 0 item done completed: 'the whole text' ''
      item 1 item given up set_aside: '' 'the engine refused the prompt'
      job job-second of tenant-second sealed: 2 pending, 1 leased, 1 completed, 1 set aside, 0 cancelled
      item 0 item done completed: 'the whole text' ''
      item 1 item given up set_aside: '' 'the engine refused the prompt'
      holder gateway-a/first: job-first/3 fence 4
      holder gateway-a/second: job-second/3 fence 9
      backlog service-first: 2
      backlog service-second: 2
      """

  Scenario: a relaying controller's folder
    Given a copy of the kept data folder "relaying-controller"
    When this version opens the folder
    Then the folder keeps its identity "1269047479c33b1ef313faab16f373d5"
    And group 0 voted in term 4 and holds a log behind entry 14
    And each entry of its logs is encoded to the same bytes again
    And each of its snapshots is made again with the same bytes
    And the state of snapshot and log survives a snapshot of its own
    And an operator reads this of group 0
      """
      table 2: {"version": 2, "services": []}
      founders 10.0.1.1:7000, 10.0.1.2:7000
      leaving 10.0.1.3:7000, 10.0.2.3:7000
      zone zone-first: draining True, order 1
      zone zone-of-both: draining False, order 2
      zone zone-second: draining True, order 1
      quarantine revision 10
      request first request 0: held True, 1 times
      request first request 1: held False, 1 times
      request second request 0: held True, 1 times
      request second request 1: held False, 1 times
      """
    And the controller's journal of runners reads
      """
      runner-1 of model at 10.0.1.1:80 in zone-1: ready, 4 slots, born 1749999000000, sequence 1, warms up 0 s
      runner-2 of model at 10.0.1.2:80 in zone-1: ready, 4 slots, born 1749999000000, sequence 1, warms up 30 s
      runner-1 of model at 10.0.1.1:80 in zone-1: draining, 4 slots, born 1749999000000, sequence 2, warms up 0 s
      """
    And the controller's versions of runners read
      """
      runner-1 born 1749999000000: v1
      runner-2 born 1749999000000: v1.2
      """
    And the controller's copy of what is committed reads
      """
      table 1: {"version": 1, "services": []}
      zone zone-first: draining True, order 1
      zone zone-of-both: draining True, order 1
      quarantine revision 5
      request first request 0: held True, 1 times
      request first request 1: held False, 1 times
      """

  Scenario: a relaying storage node's folder
    Given a copy of the kept data folder "relaying-storage"
    When this version opens the folder
    Then the folder keeps its identity "1269047479c33b1ef313faab16f373d5"
    And group 1 voted in term 4 and holds a log behind entry 13
    And each entry of its logs is encoded to the same bytes again
    And each of its snapshots is made again with the same bytes
    And the state of snapshot and log survives a snapshot of its own
    And an operator reads this of group 1
      """
      job open-first of tenant-first for model.example/v1: accepted at 100.5 s, ended False, 63 open tokens
      item item-0 /v1/chat content-type=application/json, x-item=yes: b'', 30 tokens
      item item-1 /v1/chat content-type=application/json, x-item=yes: b'body 1', 31 tokens
      item item-2 /v1/chat content-type=application/json, x-item=yes: b'body 2', 32 tokens
      item item-3 /v1/chat content-type=application/json, x-item=yes: b'', 33 tokens
      result of 0: done True, 'first\nsecond'
      result of 3: done False, ''
      progress of 1: up to event 2, ['one', 'two', 'three']
      progress of 2: up to event 0, ['a']
      job ended-first of tenant-first for model.example/v1: accepted at 100.5 s, ended True, 0 open tokens
      item item-0 /v1/chat content-type=application/json, x-item=yes: b'', 30 tokens
      item item-1 /v1/chat content-type=application/json, x-item=yes: b'', 31 tokens
      item item-2 /v1/chat content-type=application/json, x-item=yes: b'', 32 tokens
      item item-3 /v1/chat content-type=application/json, x-item=yes: b'', 33 tokens
      result of 0: done True, 'first\nsecond'
      result of 3: done False, ''
      job open-second of tenant-second for model.example/v1: accepted at 200.25 s, ended False, 63 open tokens
      item item-0 /v1/chat content-type=application/json, x-item=yes: b'', 30 tokens
      item item-1 /v1/chat content-type=application/json, x-item=yes: b'body 1', 31 tokens
      item item-2 /v1/chat content-type=application/json, x-item=yes: b'body 2', 32 tokens
      item item-3 /v1/chat content-type=application/json, x-item=yes: b'', 33 tokens
      result of 0: done True, 'first\nsecond'
      result of 3: done False, ''
      progress of 1: up to event 2, ['one', 'two', 'three']
      progress of 2: up to event 0, ['a']
      job ended-second of tenant-second for model.example/v1: accepted at 200.25 s, ended True, 0 open tokens
      item item-0 /v1/chat content-type=application/json, x-item=yes: b'', 30 tokens
      item item-1 /v1/chat content-type=application/json, x-item=yes: b'', 31 tokens
      item item-2 /v1/chat content-type=application/json, x-item=yes: b'', 32 tokens
      item item-3 /v1/chat content-type=application/json, x-item=yes: b'', 33 tokens
      result of 0: done True, 'first\nsecond'
      result of 3: done False, ''
      """

  Scenario: the kept folders hold every kind of stored record
    Then the logs of the relaying folders hold every kind of command of a relaying fleet
    And the kept data folders hold every kind of record of a file

  Scenario: this version writes what the kept folders hold
    When this version writes the data folders anew
    Then they hold the same files with the same bytes
