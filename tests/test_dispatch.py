"""Tests of methods that vary with the type of their first argument."""

import pytest

from bilberrypath.dispatch import dispatchmethod


class Shape:
    pass


class Circle(Shape):
    pass


class Printer:
    name = "printer"

    @dispatchmethod
    def describe(self, shape, unit=""):
        raise TypeError(f"no handler for {type(shape).__name__}")

    @describe.register(Shape)
    def _(self, shape, unit=""):
        return f"{self.name}: shape {unit}"


class ColourPrinter(Printer):
    name = "colour printer"


class TestDispatchMethod:
    def test_handler_of_a_base_class_is_called_with_the_instance(self):
        assert Printer().describe(Circle(), "cm") == "printer: shape cm"
        assert ColourPrinter().describe(Shape(), "mm") == "colour printer: shape mm"

    def test_type_without_handler_calls_the_method_itself(self):
        with pytest.raises(TypeError, match="no handler for int"):
            Printer().describe(1)

    def test_handlers_can_be_registered_later(self):
        class LatePrinter:
            @dispatchmethod
            def describe(self, shape):
                return "unknown"

        LatePrinter.describe.register(Circle, lambda self, shape: "circle")
        assert LatePrinter().describe(Circle()) == "circle"
        assert LatePrinter().describe(Shape()) == "unknown"
