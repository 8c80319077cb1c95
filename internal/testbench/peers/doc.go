// Package peers runs one real sidecar between scripted clients, servers and discovery that are slow, large, many or rude, and
// reports what each of them got, how much memory the sidecar used, and what an ordinary client beside them got. Unlike package
// soak it injects one kind of trouble at a time, so that a run shows what that kind alone does.
package peers
