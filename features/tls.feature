Feature: TLS between callers, entries and targets

  Scenario: Processes with certificates of one authority
    # Guards against plain text between processes, and against peers without a certificate of the
    # trusted authority.
    Given an entry and a target with certificates of one authority
    Then a caller that trusts the authority gets the answer to a request
    And a caller that trusts another authority and one without TLS get no answer
    And peers that never complete the TLS handshake do not delay a caller
    And a target with a certificate of another authority and one without TLS are refused
    And settings that name only some of the TLS files are refused
