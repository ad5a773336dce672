/*
 * calicoscale: blocking_program.cpp
 * A program without libraries whose first system call blocks SIGHUP: what no program can do better.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include <asm/unistd.h>

#include <csignal>
#include <cstddef>
#include <cstdint>

namespace {

long call_system(long p_number, long p_first, long p_second = 0, long p_third = 0, long p_fourth = 0) {
	register long fourth __asm__("r10") = p_fourth;
	long result = 0;
	__asm__ volatile("syscall"
					 : "=a"(result)
					 : "a"(p_number), "D"(p_first), "S"(p_second), "d"(p_third), "r"(fourth)
					 : "rcx", "r11", "memory");
	return result;
}

} // namespace

extern "C" [[noreturn]] void _start() {
	const std::uint64_t signals = std::uint64_t{ 1 } << (SIGHUP - 1);
	call_system(__NR_rt_sigprocmask, SIG_BLOCK, reinterpret_cast<long>(&signals), 0, sizeof(signals));
	constexpr char TEXT[] = "event=started\n";
	call_system(__NR_write, 1, reinterpret_cast<long>(TEXT), sizeof(TEXT) - 1);
	while (true) {
		call_system(__NR_pause, 0);
	}
}
