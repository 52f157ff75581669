Feature: Traces, outcomes and histories from the command line
  A bad file ends a command with code 2 and names the file and the place.

  Scenario Outline: A trace of a site's mixes is the same for the same seed
    When "trace generate --site <site> --seed 11 --seconds 60 --tenants <tenants>" writes a trace
    Then its bytes are those of "examples/<site>/trace.avro"
    And another seed gives another trace

    Examples:
      | site      | tenants                    |
      | guayaquil | exporter,broker,port-agent |
      | taoyuan   | hotels,clerks,drivers      |

  Scenario: A trace is shown with counts and rates per class
    When a replay command runs "trace show examples/guayaquil/trace.avro"
    Then the replay command ends with code 0
    And its last line has "classes.online.arrivals" = 162
    And its last line has "classes.job.items" = 216
    And its last line has "classes.non_repeatable.arrivals_per_s" = 1.75

  Scenario Outline: A trace file that is damaged
    Given a copy of "examples/guayaquil/trace.avro" with "<damage>"
    When a replay command runs "trace show COPY"
    Then the replay command ends with code 2
    And its error names the copy and "<place>"

    Examples:
      | damage                  | place         |
      | its last byte cut off   | offset        |
      | a block of zeros inside | offset        |
      | another magic           | offset 0      |
      | a compressed codec      | codec 'null'  |
      | another record type     | TraceRecord   |
      | nothing                 | offset 0      |

  Scenario Outline: A trace whose entries make no sense
    Given a trace file with "<entry>"
    When a replay command runs "trace show COPY"
    Then the replay command ends with code 2
    And its error names the copy and "<place>"

    Examples:
      | entry                    | place                   |
      | no origin                | origin                  |
      | one request twice        | request 'q1': stands    |
      | an arrival at NaN        | at_s                    |
      | a job without items      | items                   |
      | a prompt of 5 million    | prompt                  |
      | no tokens                | max_tokens              |

  Scenario Outline: An outcomes file that is wrong
    Given an outcomes file "<text>"
    When a replay command runs "replay examples/guayaquil/trace.avro --outcomes COPY"
    Then the replay command ends with code 2
    And its error names the copy and "<place>"

    Examples:
      | text                                                                                        | place                    |
      | outcomes = 3                                                                                | outcomes:                |
      | [[outcomes]]; name = "a"; of = {class = "online"}; require = "speed"                        | outcomes[0]              |
      | [[outcomes]]; name = "a"; of = {class = "online"}; require = "whole"; more = 1              | outcomes[0].more         |
      | [[outcomes]]; name = "a"; of = {class = "onlin"}; require = "whole"                         | outcomes[0].of.class     |
      | [[outcomes]]; name = "a"; of = {}; require = "whole"                                        | outcomes[0].of           |
      | [[outcomes]]; name = "a"; of = {class="online"}; require="latency"; percentile=0; within_s=1 | outcomes[0].percentile   |
      | [[outcomes]]; name = "a"; of = {class="online"}; require="deadline"; within_s=nan           | outcomes[0].within_s     |
      | [[outcomes                                                                                  | expected TOML            |

  Scenario: An outcomes file that is not there
    When a replay command runs "replay examples/guayaquil/trace.avro --outcomes no-such.toml"
    Then the replay command ends with code 2
    And its error says "no-such.toml: No such file"

  Scenario: A trace of a service that the site doesn't have
    Given a trace file with "another service"
    When a replay command runs "replay COPY --outcomes examples/guayaquil/outcomes.toml"
    Then the replay command ends with code 2
    And its error says "service 'reports-9' is none of guayaquil"

  Scenario Outline: A history is checked
    Given a history file with "<content>"
    When a replay command runs "check history COPY"
    Then the replay command ends with code <code>
    And its last line has "violation_count" = <count>

    Examples:
      | content                             | code | count |
      | nothing wrong                       | 0    | 0     |
      | a non-repeatable request run twice  | 3    | 1     |
      | a result that changed               | 3    | 1     |

  Scenario Outline: A file that is no history
    Given a history file with "<content>"
    When a replay command runs "check history COPY"
    Then the replay command ends with code 2
    And its error names the copy and "<place>"

    Examples:
      | content               | place           |
      | random bytes          | offset 0        |
      | an answer to nothing  | send_id: no open send |
      | an answer to no change | change_id: no change  |
