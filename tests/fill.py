"""The renderer of deployment templates, under the name by which the tests and the cases of the review import it."""

from mallowvalve.localfleet.template import TAG, fill

__all__ = ["TAG", "fill"]
