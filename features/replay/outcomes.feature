Feature: Stated outcomes are judged by what was seen
  Each requirement holds over a faultless replay and names the ids that break it.

  Scenario Outline: A requirement of a faultless replay holds
    When the outcome "<stated>" is judged over a replay with "nothing" wrong
    Then the judgement is held

    Examples:
      | stated                                                                          |
      | of = {class = "online"}; require = "outcome"; outcome = ["completed"]           |
      | of = {class = "online"}; require = "whole"                                      |
      | of = {class = "batch"}; require = "whole"                                       |
      | of = {class = "online"}; require = "latency"; percentile = 99; within_s = 1.0   |
      | of = {class = "online"}; require = "order"                                      |
      | of = {class = "non_repeatable"}; require = "at_most_once"                       |
      | of = {jobs = ["j"]}; require = "at_most_once"                                   |
      | of = {class = "batch"}; require = "deadline"; within_s = 20.0                   |
      | of = {class = "online"}; require = "deadline"                                   |

  Scenario Outline: A flaw breaks the requirement and is named
    When the outcome "<stated>" is judged over a replay with "<flaw>" wrong
    Then the judgement is broken by "<offending>"

    Examples:
      | stated                                                                        | flaw                    | offending |
      | of = {class = "online"}; require = "outcome"; outcome = ["completed"]         | q2 lost                 | q2        |
      | of = {class = "online"}; require = "outcome"; outcome = ["completed"]         | q2 refused              | q2        |
      | of = {class = "batch"}; require = "outcome"; outcome = ["completed"]          | j never accepted        | j         |
      | of = {requests = ["q2"]}; require = "outcome"; outcome = ["not_run"]          | nothing                 | q2        |
      | of = {class = "online"}; require = "whole"                                    | q2 with another's text  | q2        |
      | of = {class = "batch"}; require = "whole"                                     | j with a wrong result   | j         |
      | of = {class = "online"}; require = "latency"; percentile = 99; within_s = 1.0 | q2 slow                 | q2        |
      | of = {class = "online"}; require = "latency"; percentile = 99; within_s = 9.0 | q2 lost                 | q2        |
      | of = {class = "online"}; require = "order"                                    | q2 slow                 | q3        |
      | of = {tenant = "exporter"}; require = "order"; per = "tenant"                 | q2 slow                 | q3,q4     |
      | of = {class = "non_repeatable"}; require = "at_most_once"                     | q4 run twice            | q4        |
      | of = {class = "batch"}; require = "at_most_once"                              | j as two jobs           | j         |
      | of = {class = "batch"}; require = "deadline"                                  | j late                  | j         |
      | of = {class = "online"}; require = "deadline"                                 | q2 slow                 | q2        |
      | of = {requests = ["q9"]}; require = "whole"                                   | nothing                 | q9        |

  Scenario Outline: What a flaw does not touch still holds
    When the outcome "<stated>" is judged over a replay with "<flaw>" wrong
    Then the judgement is held

    Examples:
      | stated                                                                                            | flaw                    |
      | of = {class = "online"}; require = "whole"                                                        | q2 cut and then unknown |
      | of = {class = "online"}; require = "outcome"; outcome = ["completed"]; least_share = 0.6          | q2 lost                 |
      | of = {class = "online"}; require = "latency"; percentile = 50; within_s = 1.0                     | q2 slow                 |
      | of = {class = "online"}; require = "latency"; measure = "first_part"; percentile = 99; within_s=3 | q2 slow                 |
      | of = {class = "batch"}; require = "deadline"; least_share = 0.0                                   | j late                  |

  Scenario Outline: An outcome that nothing bears out did not hold
    When the outcome "<stated>" is judged over a replay with "<flaw>" wrong
    Then the judgement is broken because "<detail>"

    Examples:
      | stated                                                    | flaw             | detail                                |
      | of = {service = 'positions'}; require = 'whole'           | nothing          | nothing in the trace is selected      |
      | of = {requests = ['q2']}; require = 'whole'               | q2 lost          | nothing completed                     |
      | of = {class = 'batch'}; require = 'whole'                 | j never accepted | nothing completed                     |
      | of = {requests = ['q1', 'q2']}; require = 'order'         | q2 lost          | no two completed requests share a key |
      | of = {class = 'non_repeatable'}; require = 'order'        | nothing          | no two completed requests share a key |

  Scenario: What cannot be seen from outside is not called held
    When the outcome "of = {class = 'non_repeatable'}; require = 'at_most_once'" is judged without sight of the engines
    Then the judgement is not observed
