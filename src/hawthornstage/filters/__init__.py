"""The filters of the request pipe, one module each."""
