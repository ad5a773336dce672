/*
 * calicoscale: traced_process.h
 * A program that is run from one system call to the next.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TRACED_PROCESS_H
#define TRACED_PROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace calicoscale {

/** Where a traced process stands. */
enum class process_stop {
	EXEC, ///< The kernel has replaced the program and is still inside execve; no instruction of the new one has run.
	CALL_ENTRY,
	CALL_EXIT,
	ENTRY_POINT, ///< The dynamic linker and the constructors of the libraries are done. On x86-64 only.
	ENDED,
};

/** What a signal does to a process when it comes now. */
enum class signal_effect {
	DEFAULT,
	IGNORED,
	BLOCKED,
	CAUGHT,
};

const char *get_name(process_stop p_stop);
const char *get_name(signal_effect p_effect);

/**
 * Starts a program under ptrace and stops it at the end of execve, then at the entry and the exit of each system call of its
 * first thread, so that a signal is placed by the order of events and not by time. Signals start with their default action.
 * All calls come from the thread that made it. The process is killed with it.
 */
class traced_process {
	pid_t _pid = 0;
	process_stop _stop = process_stop::EXEC;
	int _end_status = 0;
	long _last_call = -1;
	std::size_t _calls = 0;
	int _due_signal = 0;
	std::uintptr_t _entry_point = 0;
	long _entry_word = 0;

	bool _take_stop(int p_status);
	void _note_call();
	void _set_entry_stop();
	bool _take_entry_stop();

public:
	/**
	 * The first word is the path of the program; its output goes to the log file.
	 * @throws std::runtime_error when it cannot be started or traced.
	 */
	traced_process(const std::vector<std::string> &p_command, const std::string &p_log_file);
	~traced_process();
	traced_process(const traced_process &) = delete;
	traced_process &operator=(const traced_process &) = delete;

	/** Runs it to its next stop; a signal that was sent takes effect on the way. */
	process_stop resume();

	/** Sends a signal to the process, which stands still. */
	void send_signal(int p_signal) const;

	/** For the first thread. */
	signal_effect get_effect(int p_signal) const;
	/** Also while the signal is blocked. */
	bool has_handler(int p_signal) const;

	process_stop get_stop() const { return _stop; }
	bool has_ended() const { return _stop == process_stop::ENDED; }
	/** How it ended, as waitpid() tells it. */
	int get_end_status() const { return _end_status; }
	std::string describe_end() const;
	/** The number of the system call that was entered last, -1 before the first one of the program. */
	long get_last_call() const { return _last_call; }
	/** Counts the system calls that the program has entered. */
	std::size_t get_calls() const { return _calls; }
	pid_t get_pid() const { return _pid; }
};

} // namespace calicoscale

#endif // TRACED_PROCESS_H
