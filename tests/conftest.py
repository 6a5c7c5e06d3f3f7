"""The order of the tests."""

LONGEST = "test_soak_crashes.py"


def pytest_collection_modifyitems(items):
    """Begin with the longest, so that they don't run alone at the end."""
    items.sort(key=lambda item: item.path.name != LONGEST)
