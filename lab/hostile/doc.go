// Package hostile holds tests that start daemons as processes and play clients against them that
// do not keep to the limits: a daemon must stay alive, within its memory and its descriptors, and
// must still answer ordinary callers.
package hostile
