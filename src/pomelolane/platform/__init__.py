"""The adapter for the users' platform; nothing outside knows its names.

It reads the platform's settings file, watches its metadata store, decodes its
documents into the project's types and writes the headers of its protocol. The
way in is :mod:`pomelolane.platform.host`; nothing is imported here, so that a
starting VM can listen before its libraries are loaded.
"""
