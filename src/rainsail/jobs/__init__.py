"""Jobs of relayed items: accepted whole by a quorum, run on idle runners, listed once each."""
