"""``cyclamenlift event validate``: check a document locally."""

from returns.result import Failure

from cyclamenlift.cli.documents import read_document
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus


@command('event validate')
def validate(file: str) -> ExitStatus:
    """Check an event document without sending it.

    Each error names the path of the field and the reason.
    """
    result = read_document(file)
    if isinstance(result, Failure):
        print_problems(result.failure())
        return ExitStatus.FAILED
    print_line(f'{file}: the document is valid')
    return ExitStatus.SUCCESS
