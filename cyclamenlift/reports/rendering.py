"""Renders the burn report as a table, as JSON or as a page with plots."""

from collections.abc import Sequence
import dataclasses
import html
import io

from rich.table import Table

from cyclamenlift.reports.queries import ServiceBurn

COLUMNS = (
    'service',
    'objective',
    'calls',
    'budget left',
    'burn 5 m',
    'burn 1 h',
    'worst data centre',
    'p99',
)
# At this burn rate a 30-day budget is used up in about two days.
FAST_BURN = 14.4
STYLE = """
body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;max-width:46rem;
padding:1rem;color:#1c1c1c;background:#fff}
h1{font-size:1.4rem}
article{border:1px solid #ccc;border-left:.4rem solid #2e7d32;
border-radius:.4rem;padding:.6rem .8rem;margin:0 0 1rem}
article.slow{border-left-color:#e69f00}
article.fast{border-left-color:#c62828}
h2{font-size:1.1rem;margin:0 0 .3rem;overflow-wrap:anywhere}
dl{display:grid;grid-template-columns:1fr 1fr;gap:.15rem .8rem;margin:0}
dt{color:#555}
dd{margin:0;text-align:right}
svg{width:100%;height:auto;display:block}
"""


def percent(share: float, digits: int = 1) -> str:
    """Format a share as a percentage.

    >>> percent(0.9995, 2)
    '99.95 %'
    """
    return f'{100 * share:.{digits}f} %'


def objective_text(burn: ServiceBurn) -> str:
    share = f'{100 * burn.objective_share:g} %'
    return f'{share} in {1000 * burn.objective_seconds:g} ms'


def worst_text(burn: ServiceBurn) -> str:
    if not burn.worst_data_centre:
        return 'none'
    return f'{burn.worst_data_centre} ({burn.worst_burn:.1f})'


def cells(burn: ServiceBurn) -> tuple[str, ...]:
    """Return one table row, in the order of COLUMNS."""
    return (
        burn.service,
        objective_text(burn),
        str(burn.calls.total),
        percent(burn.budget_left) if burn.calls.total else 'no calls',
        f'{burn.short_burn:.1f}',
        f'{burn.long_burn:.1f}',
        worst_text(burn),
        f'{1000 * burn.highest_p99_seconds:.1f} ms',
    )


def to_table(burns: Sequence[ServiceBurn]) -> Table:
    """Return the report as a table, in the given order."""
    event = burns[0].event if burns else 'no event'
    table = Table(*COLUMNS, title=f'Service-level burn: {event}')
    for burn in burns:
        table.add_row(*cells(burn))
    return table


def to_jsonable(burns: Sequence[ServiceBurn]) -> list[dict[str, object]]:
    """Return the report as JSON-serialisable values."""
    return [dataclasses.asdict(burn) for burn in burns]


def urgency_class(burn: ServiceBurn) -> str:
    """Return the CSS class that shows how fast a service burns."""
    if burn.short_burn >= FAST_BURN and burn.long_burn >= FAST_BURN:
        return 'fast'
    return 'slow' if max(burn.short_burn, burn.long_burn) >= 1 else 'fine'


def plot(burn: ServiceBurn) -> str:
    """Return the burn rate of the last hour as inline SVG.

    matplotlib is imported here because nothing else needs it.
    """
    from matplotlib.backends.backend_svg import FigureCanvasSVG
    from matplotlib.figure import Figure

    figure = Figure(figsize=(5.2, 1.9), layout='constrained')
    axes = figure.add_subplot()
    rates = [m.burn_rate(burn.objective_share) for m in burn.minutes]
    ages = [-age for age in range(len(rates))]
    axes.fill_between(ages, rates, step='mid', color='#0072b2', alpha=0.4)
    axes.step(ages, rates, where='mid', color='#0072b2')
    axes.axhline(1.0, color='#c62828', linewidth=1, linestyle='--')
    axes.set_xlabel('minutes ago')
    axes.set_ylabel('burn rate')
    axes.set_ylim(bottom=0)
    axes.set_xticks([-60, -45, -30, -15, 0], ['60', '45', '30', '15', '0'])
    canvas = FigureCanvasSVG(figure)
    buffer = io.StringIO()
    canvas.print_svg(buffer, metadata={'Date': None})
    document = buffer.getvalue()
    return document[document.index('<svg') :]


def article(burn: ServiceBurn) -> str:
    pairs = zip(COLUMNS[1:], cells(burn)[1:])
    entries = ''.join(
        f'<dt>{html.escape(name)}</dt><dd>{html.escape(value)}</dd>'
        for name, value in pairs
    )
    return (
        f'<article class="{urgency_class(burn)}">'
        f'<h2>{html.escape(burn.service)}</h2>'
        f'<dl>{entries}</dl>{plot(burn)}</article>'
    )


def to_html(burns: Sequence[ServiceBurn], missing: Sequence[str]) -> str:
    """Return a self-contained HTML page that also fits a phone's screen.

    ``missing`` lists the daemons without a snapshot; the page names them.
    """
    event = burns[0].event if burns else 'no event'
    title = f'Service-level burn: {html.escape(event)}'
    note = ''
    if missing:
        names = html.escape(', '.join(missing))
        note = f'<p><strong>No figures from {names}.</strong></p>'
    body = ''.join(article(burn) for burn in burns)
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width,'
        f'initial-scale=1"><title>{title}</title><style>{STYLE}</style>'
        f'</head><body><h1>{title}</h1>{note}{body}</body></html>'
    )
