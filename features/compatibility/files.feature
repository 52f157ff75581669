Feature: traces and journals that earlier versions wrote can still be read

  Scenario: a trace with each kind of entry
    When this version reads the kept trace file
    Then it finds in the file
      """
      recorded at guayaquil, seed 0, 60 s from 1750000000 on
      request request-1 at 1.5 s from zone-a: shop reports non_repeatable adapter-1 session-1, 64 tokens, seed 3, deadline 8.5 s, prompt template-1 30+12 'The text of a prompt'
      job job-key at 2.5 s from zone-b: shop reports adapter-1, deadline 600 s, 4 items, cancelled after 30.5 s: item-1 16, item-2 17, prompt template-1 30+12 'The text of a prompt'
      change change-1 at 3.5 s by operator: Tenant/shop weight 2
      """

  Scenario: the journal of the demonstration's clients
    When a new start of the demonstration reads a copy of the kept journal
    Then it finds in the file
      """
      this is start 2
      start 1: job-key job-1 reports: item-1 Prompt 1 8, item-2 Prompt 2 9
      """

  Scenario: this version writes what the kept files hold
    When this version writes the kept files anew
    Then the trace and the journal have the same bytes
