// Package departure emulates, in virtual time and from one seed, the way from the moment
// when the platform's list shows a server leaving to the last request that is sent to
// it: readings of the list, the duty and who stands by, news to members and proxies, and
// the last look of a proxy. It measures how long that takes while things fail.
//
// The rules of package listing and the boards of package feed are the real ones; what
// carries the messages, moves the duty and answers for the platform is a model, with
// spans that were measured on loopback or by the users' bench. Guards take the rules of
// the chain out one by one, so that each can be seen at work. Only cmd/measure and the
// tests import the package.
package departure
