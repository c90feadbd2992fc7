"""``cyclamenlift event show``."""

import json as json_codec

from returns.result import Failure
import yaml

from cyclamenlift.cli.admin import ask_with_number
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import say
from cyclamenlift.cli.output import say_json
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode


@command('event show')
def show(
    version: str = '0', console: str = '', json: str = 'False'
) -> ExitStatus:
    """Print the event document in force, or one older VERSION, as YAML."""
    path = '/api/document?version='
    answer = ask_with_number(console, version, 'version', path)
    if isinstance(answer, Failure):
        return answer.failure()
    report = answer.unwrap()
    if report.code != ResultCode.ANSWERED:
        complain(report.problem())
        return ExitStatus.FAILED
    if is_true(json):
        say_json(report.value)
        return ExitStatus.FINE
    mark = '' if report.value.get('confirmed') else ', not confirmed'
    say(f'# version {report.value.get("version")}{mark}')
    document = json_codec.loads(report.text('document'))
    say(yaml.safe_dump(document, sort_keys=False).rstrip())
    return ExitStatus.FINE
