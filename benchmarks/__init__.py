"""Measurements that the pages quote; each module is one command."""
