// Package mesh keeps the WebSocket sessions between the processes of the system and packs messages into frames.
package mesh
