"""``cyclamenlift event show``: print the event document."""

import json as json_codec

from returns.result import Failure
import yaml

from cyclamenlift.cli.admin import request_by_number
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode


@command('event show')
def show(
    version: str = '0', console: str = '', json: str = 'False'
) -> ExitStatus:
    """Print the current event document, or an older VERSION, as YAML."""
    path = '/api/document?version='
    result = request_by_number(console, version, 'version', path)
    if isinstance(result, Failure):
        return result.failure()
    report = result.unwrap()
    if report.code != ResultCode.ANSWERED:
        print_problem(report.problem())
        return ExitStatus.FAILED
    if is_true(json):
        print_json(report.value)
        return ExitStatus.SUCCESS
    suffix = '' if report.value.get('confirmed') else ', not confirmed'
    print_line(f'# version {report.value.get("version")}{suffix}')
    document = json_codec.loads(report.text('document'))
    print_line(yaml.safe_dump(document, sort_keys=False).rstrip())
    return ExitStatus.SUCCESS
