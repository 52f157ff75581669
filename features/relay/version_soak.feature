Feature: Under random faults no stream and no text of an item has events of two software versions

  Each run has four gateways and four runners, which crash and start again at newer versions, all at
  once, one after the other or alone, while controllers, gateways and the ledger's nodes are killed.

  Scenario Outline: Random run with changing software versions, seed <seed>
    When a random run with changing software versions and seed <seed> is made
    Then no stream and no text was of two versions

    Examples: before former versions were kept, each of these had a stream or a text of two
      | seed |
      | 9    |
      | 12   |

    Examples: in each of these no controller ran for a while as runners started again
      | seed |
      | 19   |
      | 22   |
      | 41   |
      | 76   |

  Scenario Outline: Random run with partitions as runners of other versions join, seed <seed>
    When a random run with partitions, changing software versions and seed <seed> is made
    Then no stream and no text was of two versions

    Examples: in each of these a stream went on at the only version that a gateway behind a cut knew
      | seed |
      | 27   |
      | 41   |
