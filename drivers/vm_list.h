/*
 * calicoscale: vm_list.h
 * The platform's list of live and leaving VMs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VM_LIST_H
#define VM_LIST_H

#include "drivers/http_client.h"
#include "servers/membership/member_table.h"

#include <functional>
#include <optional>
#include <vector>

namespace calicoscale {

/** One snapshot of the list. */
struct vm_listing {
	std::vector<endpoint_listing> endpoints;
	std::vector<entry_listing> entries;
	std::size_t bytes = 0; ///< Size of the answer in bytes.
};

/** Client of the list service, whose interface docs/PLATFORM.md gives. */
class vm_list {
	http_client &_client;
	network_address _address;

public:
	vm_list(http_client &p_client, network_address p_address);

	/** Fetches the list; the hook receives an empty value unless a complete, well-formed answer arrived. */
	void fetch(std::function<void(const std::optional<vm_listing> &p_listing)> p_hook);
};

} // namespace calicoscale

#endif // VM_LIST_H
