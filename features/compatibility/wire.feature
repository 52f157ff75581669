Feature: Names and schemas that other versions and disks rely on

  Scenario: Every record keeps its type id, its fields and their order
    Then the records on the wire and on disks are those of wire_records.json

  Scenario: A class and a field renamed in the code keep their names on the wire
    When a record is written by a class whose name and field were renamed
    Then its bytes, its schema and its type id are those of the class before

  Scenario: A record without a name on the wire can't be encoded
    Then encoding a dataclass that declares no name on the wire is refused

  Scenario: A name on the wire for a field that isn't there is refused
    Then declaring a wire name for a missing field is refused

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
