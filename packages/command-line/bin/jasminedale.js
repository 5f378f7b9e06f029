#!/usr/bin/env node
// Committed, because npm makes a command executable when it installs, before the build has written dist.
import '../dist/main.js'
