// Package disp holds an entry's state machine for jobs whose tasks may be repeated after a failure: the entry that
// receives such a job dispatches its tasks itself, under a lease that each agent grants it.
package disp
