#!/usr/bin/env node
// This file is committed because npm makes the command executable during installation, before the build creates dist.
import '../dist/main.js'
