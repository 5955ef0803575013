// Package quarantine decides which requests are not sent to servers any more, since servers end under them.
package quarantine
