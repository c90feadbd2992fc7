"""``cyclamenlift event validate``."""

from returns.result import Failure

from cyclamenlift.cli.documents import read_document
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus


@command('event validate')
def validate(file: str) -> ExitStatus:
    """Check an event document; nothing is sent anywhere.

    Each error names the path of its field and the reason.
    """
    result = read_document(file)
    if isinstance(result, Failure):
        complain_all(result.failure())
        return ExitStatus.FAILED
    say(f'{file}: the document is valid')
    return ExitStatus.FINE
