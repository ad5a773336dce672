/*
 * calicoscale: traced_process.cpp
 * A program that is run from one system call to the next.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/traced_process.h"

#include <elf.h>
#include <fcntl.h>
#include <sys/ptrace.h>
#include <sys/user.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace calicoscale {

namespace {

constexpr std::array<const char *, 5> STOP_NAMES{ "exec", "call entry", "call exit", "entry point", "ended" };
constexpr std::array<const char *, 4> EFFECT_NAMES{ "default", "ignored", "blocked", "caught" };

/** Set in the stops of system calls by PTRACE_O_TRACESYSGOOD. */
constexpr int CALL_STOP = SIGTRAP | 0x80;

[[noreturn]] void run_program(const std::vector<std::string> &p_command, int p_log) {
	std::vector<char *> words;
	words.reserve(p_command.size() + 1);
	for (const std::string &word : p_command) {
		words.push_back(const_cast<char *>(word.c_str()));
	}
	words.push_back(nullptr);
	for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
		std::signal(signal, SIG_DFL);
	}
	sigset_t nothing;
	sigemptyset(&nothing);
	sigprocmask(SIG_SETMASK, &nothing, nullptr);
	// The leak sanitizer is a tracer itself and fails in a process that has one.
	setenv("ASAN_OPTIONS", "detect_leaks=0", 1);
	dup2(p_log, STDOUT_FILENO);
	dup2(p_log, STDERR_FILENO);
	ptrace(PTRACE_TRACEME, 0, nullptr, nullptr);
	// The tracer sets its options here.
	raise(SIGSTOP);
	execv(words.front(), words.data());
	_exit(127);
}

/** Whether the named line of the process's status, a set of signals, holds this one. */
bool holds_signal(pid_t p_process, const std::string &p_line, int p_signal) {
	std::ifstream file("/proc/" + std::to_string(p_process) + "/status");
	std::string line;
	while (std::getline(file, line)) {
		if (line.starts_with(p_line)) {
			return (std::stoull(line.substr(p_line.size()), nullptr, 16) >> (p_signal - 1) & 1) != 0;
		}
	}
	return false;
}

} // namespace

const char *get_name(process_stop p_stop) {
	return STOP_NAMES[static_cast<std::size_t>(p_stop)];
}

const char *get_name(signal_effect p_effect) {
	return EFFECT_NAMES[static_cast<std::size_t>(p_effect)];
}

traced_process::traced_process(const std::vector<std::string> &p_command, const std::string &p_log_file) {
	const int log = open(p_log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	_pid = fork();
	if (_pid == 0) {
		run_program(p_command, log);
	}
	close(log);
	int status = 0;
	if (_pid < 0 || waitpid(_pid, &status, 0) != _pid || !WIFSTOPPED(status)) {
		throw std::runtime_error("cannot start " + p_command.front());
	}
	ptrace(PTRACE_SETOPTIONS, _pid, nullptr, PTRACE_O_EXITKILL | PTRACE_O_TRACESYSGOOD | PTRACE_O_TRACEEXEC);
	ptrace(PTRACE_CONT, _pid, nullptr, nullptr);
	waitpid(_pid, &status, 0);
	if (status >> 8 != (SIGTRAP | PTRACE_EVENT_EXEC << 8)) {
		kill(_pid, SIGKILL);
		throw std::runtime_error("cannot run " + p_command.front());
	}
	_set_entry_stop();
}

traced_process::~traced_process() {
	if (!has_ended()) {
		kill(_pid, SIGKILL);
		waitpid(_pid, nullptr, 0);
	}
}

process_stop traced_process::resume() {
	bool is_known = false;
	while (!is_known) {
		ptrace(PTRACE_SYSCALL, _pid, nullptr, _due_signal);
		_due_signal = 0;
		int status = 0;
		while (waitpid(_pid, &status, 0) < 0 && errno == EINTR) {
		}
		is_known = _take_stop(status);
	}
	return _stop;
}

bool traced_process::_take_stop(int p_status) {
	if (!WIFSTOPPED(p_status)) {
		_end_status = p_status;
		_stop = process_stop::ENDED;
		return true;
	}
	if (WSTOPSIG(p_status) == CALL_STOP) {
		_note_call();
		return true;
	}
	if (WSTOPSIG(p_status) == SIGTRAP) {
		return _take_entry_stop();
	}
	// Delivered when the process goes on.
	_due_signal = WSTOPSIG(p_status);
	return false;
}

void traced_process::_note_call() {
	__ptrace_syscall_info info{};
	ptrace(PTRACE_GET_SYSCALL_INFO, _pid, sizeof(info), &info);
	if (info.op != PTRACE_SYSCALL_INFO_ENTRY) {
		_stop = process_stop::CALL_EXIT;
		return;
	}
	_stop = process_stop::CALL_ENTRY;
	_last_call = static_cast<long>(info.entry.nr);
	_calls++;
}

#ifdef __x86_64__

void traced_process::_set_entry_stop() {
	std::ifstream file("/proc/" + std::to_string(_pid) + "/auxv", std::ios::binary);
	Elf64_auxv_t entry{};
	while (file.read(reinterpret_cast<char *>(&entry), sizeof(entry)) && entry.a_type != AT_ENTRY) {
	}
	_entry_point = entry.a_un.a_val;
	_entry_word = ptrace(PTRACE_PEEKTEXT, _pid, _entry_point, nullptr);
	constexpr long BREAKPOINT = 0xcc;
	ptrace(PTRACE_POKETEXT, _pid, _entry_point, (_entry_word & ~0xffL) | BREAKPOINT);
}

bool traced_process::_take_entry_stop() {
	user_regs_struct registers{};
	ptrace(PTRACE_GETREGS, _pid, nullptr, &registers);
	if (registers.rip != _entry_point + 1) {
		return false;
	}
	ptrace(PTRACE_POKETEXT, _pid, _entry_point, _entry_word);
	registers.rip = _entry_point;
	ptrace(PTRACE_SETREGS, _pid, nullptr, &registers);
	_stop = process_stop::ENTRY_POINT;
	return true;
}

#else

void traced_process::_set_entry_stop() {
}

bool traced_process::_take_entry_stop() {
	return false;
}

#endif

void traced_process::send_signal(int p_signal) const {
	if (!has_ended()) {
		kill(_pid, p_signal);
	}
}

signal_effect traced_process::get_effect(int p_signal) const {
	if (holds_signal(_pid, "SigBlk:", p_signal)) {
		return signal_effect::BLOCKED;
	}
	if (has_handler(p_signal)) {
		return signal_effect::CAUGHT;
	}
	return holds_signal(_pid, "SigIgn:", p_signal) ? signal_effect::IGNORED : signal_effect::DEFAULT;
}

bool traced_process::has_handler(int p_signal) const {
	return holds_signal(_pid, "SigCgt:", p_signal);
}

std::string traced_process::describe_end() const {
	if (WIFSIGNALED(_end_status)) {
		return "signal " + std::to_string(WTERMSIG(_end_status));
	}
	return "status " + std::to_string(WEXITSTATUS(_end_status));
}

} // namespace calicoscale
