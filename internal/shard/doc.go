// Package shard maps job ids to shards and shards to the entries that own them.
package shard
