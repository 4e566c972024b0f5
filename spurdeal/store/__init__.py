"""What must outlive the process: the ledger of requests that must not run twice."""
