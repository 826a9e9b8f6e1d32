// Package quarantine identifies requests that crash the targets that run them.
package quarantine
