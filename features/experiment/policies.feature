Feature: Batch policies are compared on one trace

  Scenario Outline: what the preemptive policy allows a runner of 32 slots
    Given a runner with <online> online requests and <batch> batch items
    When <waiting> online prompt tokens wait and the batch weight is <weight>
    Then the preemptive policy allows it <allowed> batch items

    Examples:
      | online | batch | waiting | weight | allowed |
      | 0      | 0     | 0       | 0.8    | 32      |
      | 10     | 22    | 0       | 0.8    | 22      |
      | 16     | 22    | 0       | 0.8    | 22      |
      | 16     | 32    | 0       | 0.8    | 24      |
      | 32     | 10    | 0       | 0.8    | 0       |
      | 40     | 10    | 0       | 1.0    | 0       |
      | 4      | 28    | 900     | 0.0    | 28      |
      | 4      | 28    | 1136    | 0.8    | 15      |
      | 4      | 3     | 1136    | 0.8    | 3       |
      | 4      | 28    | 1984    | 0.2    | 0       |

  Scenario: a run gives the same figures again, and the last line has each policy's
    When the experiment runs 25 s at taoyuan with the policies preemptive and shared_queue, twice
    Then both experiments print the same summary line
    And the summary line of the experiment names none, preemptive and shared_queue
    And the preemptive policy harms less than shared_queue and reaches half of the bound

  Scenario: the report has the figures, the plots and one page
    When the experiment runs 25 s at guayaquil and its report is written
    Then the report folder has report.json, index.html and 3 plots named on the page

  Scenario: a wait that lasts beyond the run counts with its length so far
    Given an experiment's record with a wait of 0.1 s and one without an end sent 40 s before it
    Then the experiment's longest wait is 40 s

  Scenario Outline: a site or a policy that does not exist is refused
    When rainsail is run with "experiment <options>"
    Then rainsail exits with 2
    And its stderr says "<words>"

    Examples:
      | options                           | words               |
      | --site=quito --minutes=0.5        | no site 'quito'     |
      | --policy=best --minutes=0.5       | no policy 'best'    |
