"""Renders burn rates over time as an SVG plot."""

import datetime
import os
import pathlib

import pygal

from cicadaplank.reports import burn

WINDOW_S = 3_600.0


def render_burn_plot(points, window_s=WINDOW_S):
    """Render burn rates over time, one line for each objective.

    :param points: dict that :func:`cicadaplank.reports.burn.timeline` returns.
    :param window_s: length of the window in seconds, for the title.
    :returns: SVG as bytes; it refers to no other file.
    """
    chart = pygal.DateTimeLine(
        # pygal's default scripts would be fetched from a third party's server.
        js=(),
        title=f"Burn rate over {burn.window_name(window_s)}, by objective",
        y_title="share of the budget rate",
        x_label_rotation=30,
        x_value_formatter=lambda time: time.strftime("%Y-%m-%d %H:%M:%S"),
        no_data_text="no events",
        dots_size=2,
    )
    for name, line in points.items():
        chart.add(name, [(_utc(time_s), rate) for time_s, rate in line])
    return chart.render()


def write_plot(path, points, window_s=WINDOW_S):
    """Render the plot and replace the file at the path atomically.

    :param path: path of the file.
    :param points: dict that :func:`cicadaplank.reports.burn.timeline` returns.
    :param window_s: length of the window in seconds, for the title.
    :raises ValueError: when the file cannot be written; an older file is unchanged.
    """
    target = pathlib.Path(path)
    partial_path = target.with_name(f"{target.name}.partial")
    try:
        partial_path.write_bytes(render_burn_plot(points, window_s))
        os.replace(partial_path, target)
    except OSError as error:
        raise ValueError(f"cannot write plot to {target}: {error}") from error


def _utc(time_s):
    return datetime.datetime.fromtimestamp(time_s, datetime.UTC)
