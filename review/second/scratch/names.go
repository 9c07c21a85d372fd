package main

var platformHeaders = map[string]bool{"Token-Count": true, "Length-Hint": true, "Deadline-Remaining": true, "Last-Event-Id": true}

const platformHeaders2 = "Token-Count"
