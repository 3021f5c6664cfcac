import sys
import types

import pytest

from rhubarblock.kernel import registry


class Fast:
    plugin_group = "policy"
    plugin_name = "fast"


class Rival:
    plugin_group = "policy"
    plugin_name = "fast"


class Nameless:
    plugin_group = "policy"


@pytest.fixture
def make_module(monkeypatch):
    def make(**content):
        module = types.ModuleType("sample_plugins")
        vars(module).update(content)
        monkeypatch.setitem(sys.modules, "sample_plugins", module)
        return ["sample_plugins"]

    return make


def test_modules_register_what_they_declare(make_module):
    plugins = registry.Registry()
    names = make_module(__plugins__=("Fast",), Fast=Fast, Rival=Rival)
    plugins.load(names)
    plugins.load(names)
    assert plugins.get("policy", "fast") is Fast
    assert plugins.list_names("policy") == ("fast",)


def test_unknown_name_lists_the_known_ones(make_module):
    plugins = registry.Registry()
    plugins.load(make_module(__plugins__=("Fast",), Fast=Fast))
    with pytest.raises(registry.UnknownPluginError) as caught:
        plugins.get("policy", "slow")
    assert str(caught.value) == "unknown policy 'slow'; known: fast"


def test_two_classes_with_the_same_name_are_rejected(make_module):
    plugins = registry.Registry()
    names = make_module(__plugins__=("Fast", "Rival"), Fast=Fast, Rival=Rival)
    with pytest.raises(registry.DuplicatePluginError, match="policy 'fast'"):
        plugins.load(names)


@pytest.mark.parametrize("name", ["Missing", "Nameless"])
def test_incomplete_declarations_are_rejected(make_module, name):
    plugins = registry.Registry()
    with pytest.raises(registry.InvalidPluginError, match=name):
        plugins.load(make_module(__plugins__=(name,), Nameless=Nameless))


def test_the_shipped_plugins_load():
    plugins = registry.Registry()
    plugins.load(registry.default_modules())
    assert {"naive", "length_aware"} <= set(plugins.list_names("policy"))
