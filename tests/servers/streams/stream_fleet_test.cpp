/*
 * calicoscale: stream_fleet_test.cpp
 * Tests fleets of up to 986 nodes in virtual time: no stream is mixed, and most go on, whatever nodes and zones fail.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/streams/stream_fleet.h"

#include <gtest/gtest.h>

#include <functional>
#include <iostream>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A third of 4,700 requests per second at 410 nodes. */
constexpr double STREAMS_PER_NODE = 3.8;
constexpr std::uint64_t SEED = 7;
/** Endpoints that crash and nodes that restart break off this share of the streams at most, as an average. */
constexpr double BROKEN_SHARE = 0.2;
/** The requirement: the share of resumed streams that go on, as all streams begin here. */
constexpr double MIN_CONTINUED_SHARE = 0.5;
/** Bytes that a node may send per second for all control traffic. */
constexpr double MAX_BYTES_PER_SECOND = 22'000.0;

class stream_fleet_test : public ::testing::TestWithParam<std::size_t> {
protected:
	stream_fleet _fleet{ GetParam(), BROKEN_SHARE, SEED };
	double _rate = STREAMS_PER_NODE * static_cast<double>(GetParam());

	/** Updates the endpoints in steps, with two and then three versions side by side. @param p_trouble runs after each step. */
	void update(const std::function<void()> &p_trouble) {
		for (std::size_t step = 0; step <= 9; step++) {
			_fleet.set_endpoints({ { "v1", 18 - 2 * step }, { "v1.1", 2 * step } });
			p_trouble();
			_fleet.run(_rate, milliseconds(1500));
		}
		for (std::size_t step = 0; step <= 9; step++) {
			_fleet.set_endpoints({ { "v1", 0 }, { "v1.1", 18 - 2 * step }, { "v1.2", 2 * step } });
			p_trouble();
			_fleet.run(_rate, milliseconds(1500));
		}
	}

	void expect_kept(const resumption_counts &p_counts) {
		EXPECT_EQ(p_counts.mixed, 0U);
		EXPECT_GE(p_counts.get_continued_share(), MIN_CONTINUED_SHARE) << p_counts.continued << " of " << p_counts.continued + p_counts.refused;
	}
};

} // namespace

TEST_P(stream_fleet_test, streams_go_on_at_their_version_during_an_update) {
	update([] {});
	const resumption_counts counts = _fleet.take_counts();
	expect_kept(counts);
	EXPECT_EQ(counts.refused, 0U);
	if (GetParam() > 1) {
		EXPECT_GT(counts.gone, 0U);
	}
	EXPECT_LE(static_cast<double>(_fleet.get_most_bytes()) / 30.0, MAX_BYTES_PER_SECOND);
	EXPECT_LE(_fleet.get_most_records(), stream_table::MAX_RECORDS_PER_CUSTOMER);
	std::cout << GetParam() << " nodes: at most " << _fleet.get_most_bytes() / 30 << " bytes/s and " << _fleet.get_most_records() << " records a node, " << counts.continued << " resumed\n";
}

TEST_P(stream_fleet_test, half_of_the_nodes_are_killed_in_the_middle_of_an_update) {
	int step = 0;
	update([this, &step] {
		if (step++ % 4 == 2) {
			expect_kept(_fleet.take_counts());
			_fleet.kill(0.5, seconds(1));
		}
	});
	expect_kept(_fleet.take_counts());
}

TEST_P(stream_fleet_test, zones_are_cut_off_during_an_update) {
	int step = 0;
	update([this, &step] {
		expect_kept(_fleet.take_counts());
		const int phase = step++ % 6;
		_fleet.cut(phase == 1 ? "a" : phase == 3 ? "b"
						: phase == 5             ? "c"
												 : "");
	});
	expect_kept(_fleet.take_counts());
}

TEST_P(stream_fleet_test, zones_are_cut_off_while_nodes_are_killed) {
	int step = 0;
	update([this, &step] {
		_fleet.cut(step % 3 == 1 ? "b" : "");
		_fleet.kill(step % 5 == 3 ? 0.3 : 0.0, milliseconds(600));
		step++;
	});
	EXPECT_EQ(_fleet.take_counts().mixed, 0U);
}

// Guards against a guess when no node remembers anything.
TEST_P(stream_fleet_test, streams_of_a_fleet_that_lost_all_records_are_refused) {
	_fleet.set_endpoints({ { "v1", 9 }, { "v1.1", 9 } });
	_fleet.run(_rate, seconds(4));
	_fleet.take_counts();
	_fleet.kill(1.0, milliseconds(200));
	_fleet.run(_rate, milliseconds(300));
	const resumption_counts counts = _fleet.take_counts();
	EXPECT_EQ(counts.mixed, 0U);
}

INSTANTIATE_TEST_SUITE_P(nodes, stream_fleet_test, ::testing::Values(1, 9, 90, 410, 986), [](const ::testing::TestParamInfo<std::size_t> &p_info) { return std::to_string(p_info.param); });

} // namespace calicoscale
