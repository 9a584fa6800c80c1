// Package contend learns which kinds of tasks slow each other down on one backend server, from the run times of tasks and what ran
// beside them.
//
// It answers the load pattern of kinds of tasks that share more of a server than their needs say, such as a cache or a disk, while servers
// are uneven, bursts fill them and kinds come and go. A server's own speed and an overall lack of room are no disturbance by a kind: the
// first is taken out as the server's mean, and the second slows tasks down beside all kinds alike, so that a kind only counts for what
// it does beyond the others.
package contend
