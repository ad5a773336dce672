/*
 * calicoscale: gateway_process.cpp
 * A gateway as a process of its own.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/gateway_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace calicoscale {

gateway_process::gateway_process(std::string p_program, std::string p_settings_file, std::string p_log_file) :
		_program(std::move(p_program)), _settings_file(std::move(p_settings_file)), _log_file(std::move(p_log_file)) {
}

gateway_process::~gateway_process() {
	if (_pid != 0) {
		kill(_pid, SIGKILL);
		waitpid(_pid, nullptr, 0);
	}
}

void gateway_process::start() {
	const pid_t parent = getpid();
	const int log = open(_log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	const pid_t made = fork();
	if (made < 0) {
		throw std::runtime_error("cannot start " + _program);
	}
	if (made == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent) {
			_exit(1);
		}
		// What the soak holds open must end when the soak closes it.
		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		close_range(STDERR_FILENO + 1, ~0U, 0);
		execl(_program.c_str(), _program.c_str(), "gateway", "--settings", _settings_file.c_str(), nullptr);
		_exit(127);
	}
	close(log);
	_pid = made;
	_starts++;
}

void gateway_process::send_signal(int p_signal) const {
	if (_pid != 0) {
		kill(_pid, p_signal);
	}
}

bool gateway_process::has_ended() {
	if (_pid == 0 || waitpid(_pid, nullptr, WNOHANG) != _pid) {
		return false;
	}
	_pid = 0;
	return true;
}

} // namespace calicoscale
