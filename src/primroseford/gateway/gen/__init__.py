"""Generated code of messages.thrift."""
