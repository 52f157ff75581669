Feature: Names and schemas that other versions and disks rely on

  Scenario: Every record keeps its type id, its fields and their order
    Then the records on the wire and on disks are those of wire_records.json

  Scenario Outline: Nodes of both protocols recognise those of other versions
    Then the transport fingerprint of the <protocol> protocol is <fingerprint>

    Examples:
      | protocol | fingerprint |
      | native   | 2038795504  |
      | relaying | 4184850841  |

  Scenario Outline: Data folders of both kinds are accepted by other versions
    Then the durable fingerprint of <kind> folders is "<fingerprint>"

    Examples:
      | kind     | fingerprint |
      | native   | a5a870ed    |
      | relaying | a2eaf087    |
