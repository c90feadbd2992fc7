"""Mutants of what client accounts are promised."""

from tools.mutation import Mutant

KEYS = 'tests/calls/test_account_keys.py'
LIMITS = 'tests/accounts/test_ways_to_share.py'
MESSAGES = 'tests/accounts/test_tasks.py'

ACCOUNT_MUTANTS = (
    Mutant(
        'a key reaches the target',
        'cyclamenlift/calls/tasks.py',
        'dropped |= {dialect.account_key}',
        'pass',
        KEYS,
    ),
    Mutant(
        'a caller names its account',
        'cyclamenlift/http/dialects.py',
        'self.account,',
        "'',",
        KEYS,
    ),
    Mutant(
        'the identifier of a nested call stands for a key',
        'cyclamenlift/calls/account_keys.py',
        'return Problem(ResultCode.PARENT_UNKNOWN)',
        'return Problem(ResultCode.RULES_BEHIND)',
        KEYS,
    ),
    Mutant(
        'a key is denied while newer rules are coming',
        'cyclamenlift/calls/tasks.py',
        '    ResultCode.ACCOUNT_KEY_UNKNOWN,\n)',
        ')',
        KEYS,
    ),
    Mutant(
        'a data centre takes its part before the others know',
        'cyclamenlift/accounts/home.py',
        'min((own, *confirmed))',
        'own',
        LIMITS,
    ),
    Mutant(
        'a home that starts has a whole burst',
        'cyclamenlift/accounts/home.py',
        'return min(INITIAL_CALLS, depth / 2.0)',
        'return 10.0 * depth',
        LIMITS,
    ),
    Mutant(
        'entries are not told of an account near its limit',
        'cyclamenlift/accounts/home.py',
        'due.append(self.grant(name, account, 0, 0, now))',
        'pass',
        LIMITS,
    ),
    Mutant(
        'an entry that is cut off uses the whole limit',
        'cyclamenlift/accounts/entry.py',
        'rule.calls_per_second / self.entries, max(1.0, depth), now',
        'rule.calls_per_second, max(1.0, depth), now',
        MESSAGES,
    ),
    Mutant(
        'a call that waits for a silent home gets no decision',
        'cyclamenlift/accounts/entry_reports.py',
        "self.decide_alone(use.account, 'home late')",
        'pass',
        MESSAGES,
    ),
    Mutant(
        'a target serves accounts in the order of arrival',
        'cyclamenlift/gate/admission.py',
        'return (not self.nested, self.rank, self.tag, not self.returned)',
        'return (not self.nested, self.rank, not self.returned)',
        'tests/gate/test_competing_accounts.py',
    ),
)
