"""What must outlive the process: the ledger of submissions that must not run twice."""
