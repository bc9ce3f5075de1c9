"""Behave hooks shared by every scenario."""


def before_scenario(context, scenario):
    """Give each scenario an empty list of clean-up functions."""
    context.cleanups = []


def after_scenario(context, scenario):
    """Run the clean-up functions, the last registered first."""
    for cleanup in reversed(context.cleanups):
        cleanup()


def after_all(context):
    """Stop the deployment that the scenarios with processes share."""
    system = context.config.userdata.get("system")
    if system is not None:
        system.deployment.stop_all()
