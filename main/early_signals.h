/*
 * calicoscale: early_signals.h
 * Keeps a process alive that is told to reload before it can.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EARLY_SIGNALS_H
#define EARLY_SIGNALS_H

namespace calicoscale {

/**
 * Lets SIGHUP through to its handler; one that came before is delivered now. A gateway blocks it before any library
 * is initialised, as its default action ends the process.
 */
void unblock_reload_signal();

} // namespace calicoscale

#endif // EARLY_SIGNALS_H
