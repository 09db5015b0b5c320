"""Interfaces between the components: declared data, messages, outcomes and ports."""
