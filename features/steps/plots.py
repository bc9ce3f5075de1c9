"""Steps for the plot of burn rates."""

import pathlib
import tempfile
from xml.etree import ElementTree

import behave

from cicadaplank.reports import burn, objectives, plots

SVG = "{http://www.w3.org/2000/svg}"


@behave.when("the burn plot is written")
def step_plot(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    path = pathlib.Path(folder.name) / "burn.svg"
    plots.write_plot(path, burn.timeline(context.scrapes, 300.0), 300.0)
    assert [entry.name for entry in path.parent.iterdir()] == ["burn.svg"]
    context.svg = path.read_text()


@behave.then("the plot file is SVG with {count:d} points and names every objective")
def step_svg(context, count):
    root = ElementTree.fromstring(context.svg)
    assert root.tag == f"{SVG}svg", root.tag
    dots = [e for e in root.iter(f"{SVG}circle") if "dot" in e.get("class", "")]
    assert len(dots) == count, len(dots)
    for objective in objectives.DEFAULTS:
        assert objective.name in context.svg, objective.name


@behave.then("the plot file fetches nothing")
def step_no_fetch(context):
    root = ElementTree.fromstring(context.svg)
    sources = [
        value
        for element in root.iter()
        for name, value in element.attrib.items()
        if name.endswith(("href", "src")) and not value.startswith("#")
    ]
    assert sources == [], sources
    assert "@import" not in context.svg


@behave.when("the burn plot is written to a folder that is not there")
def step_no_folder(context):
    try:
        plots.write_plot("/nowhere/burn.svg", burn.timeline(context.scrapes, 300.0))
    except ValueError as error:
        context.error = str(error)
    else:
        raise AssertionError("no error")


@behave.then("the plot error names the file")
def step_error(context):
    assert "/nowhere/burn.svg" in context.error, context.error
