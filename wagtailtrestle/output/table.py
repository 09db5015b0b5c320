"""Plain-text tables with aligned columns."""

GAP = "  "


def table(*, header, rows):
    """Return a table as text; numeric columns are aligned to the right.

    Parameters
    ----------
    header : sequence of str
    rows : sequence of sequence
        Cells are converted with ``str``.
    """
    rows = list(rows)
    columns = list(zip(header, *rows, strict=True))
    widths = [max(len(str(cell)) for cell in column) for column in columns]
    numeric = [len(column) > 1 and all(isinstance(cell, (int, float)) for cell in column[1:]) for column in columns]
    lines = []
    for row in (header, *rows):
        cells = [
            str(cell).rjust(width) if is_number else str(cell).ljust(width)
            for cell, width, is_number in zip(row, widths, numeric, strict=True)
        ]
        lines.append(GAP.join(cells).rstrip())
    return "\n".join(lines)
