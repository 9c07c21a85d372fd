// Command load plays callers that return after pauses, and counts what they met.
package main

func main() {}
