/*
 * calicoscale: open_run_counter.cpp
 * Open runs of this node at each version of each service.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/open_run_counter.h"

namespace calicoscale {

void open_run_counter::on_ended(const std::string &p_service, const std::string &p_version) {
	const auto service = _open.find(p_service);
	if (service == _open.end()) {
		return;
	}
	const auto version = service->second.find(p_version);
	if (version != service->second.end() && --version->second == 0) {
		service->second.erase(version);
	}
}

std::uint32_t open_run_counter::count_others(const std::string &p_service, const std::string &p_version) const {
	const auto service = _open.find(p_service);
	std::uint32_t count = 0;
	if (service != _open.end()) {
		for (const auto &[version, open] : service->second) {
			count += version == p_version ? 0 : open;
		}
	}
	return count;
}

} // namespace calicoscale
