"""Write docs/result-codes.md from the enum of codes."""

import pathlib

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode

HEAD = """# Result codes

Every answer carries `Cyclamenlift-Result: <code>`. The thousands say what
may be done next.

| range | meaning |
|---|---|
| 1xxx | answered |
| 2xxx | **not run**: safe to try again |
| 3xxx | **outcome unknown**: ask with the same `Idempotency-Key` |
| 4xxx | the request is wrong; it was not run |
| 5xxx | operators' changes |
| 6xxx | settings and documents |
| 7xxx | storage |
| 8xxx | frames between processes |

This page is made by `python -m tools.result_codes`; a test compares it.

| code | name | HTTP | title | what to do |
|---|---|---|---|---|
"""


def main() -> None:
    rows = []
    for code in ResultCode:
        info = describe(code)
        status = info.status or '-'
        rows.append(
            f'| {int(code)} | {code.name} | {status} | {info.title} '
            f'| {info.hint} |'
        )
    page = pathlib.Path('docs/result-codes.md')
    page.write_text(HEAD + '\n'.join(rows) + '\n')


if __name__ == '__main__':
    main()
