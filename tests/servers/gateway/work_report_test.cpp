/*
 * calicoscale: work_report_test.cpp
 * Tests reports of stage work that differ from what was assigned.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/work_report.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

stage_work make_work() {
	stage_work work;
	work.attempt = "r1";
	work.stage = 2;
	work.pieces = 3;
	return work;
}

work_report make_report() {
	return work_report{ static_cast<std::uint8_t>(work_end::DONE), "r1", 2, 3 };
}

} // namespace

TEST(work_report, a_report_of_the_assigned_work_is_accepted) {
	EXPECT_EQ(find_mismatch(make_work(), make_report()), work_mismatch::NONE);
}

TEST(work_report, a_report_of_a_dispatcher_that_names_no_attempt_is_checked_by_its_results) {
	work_report report{ static_cast<std::uint8_t>(work_end::DONE), "", 0, 3 };
	EXPECT_EQ(find_mismatch(make_work(), report), work_mismatch::NONE);
	report.result_count = 2;
	EXPECT_EQ(find_mismatch(make_work(), report), work_mismatch::RESULT_COUNT);
}

TEST(work_report, results_of_another_request_are_rejected) {
	work_report report = make_report();
	report.attempt = "r2";
	EXPECT_EQ(find_mismatch(make_work(), report), work_mismatch::ATTEMPT);
}

TEST(work_report, results_of_another_stage_are_rejected) {
	work_report report = make_report();
	report.stage = 0;
	EXPECT_EQ(find_mismatch(make_work(), report), work_mismatch::STAGE);
}

TEST(work_report, too_few_and_too_many_results_are_rejected) {
	for (const std::size_t count : { 0U, 2U, 4U }) {
		work_report report = make_report();
		report.result_count = count;
		EXPECT_EQ(find_mismatch(make_work(), report), work_mismatch::RESULT_COUNT);
	}
}

TEST(work_report, an_end_without_results_has_none) {
	for (const work_end end : { work_end::INPUT_LOST, work_end::LATE, work_end::FAILED, work_end::DROPPED }) {
		EXPECT_EQ(find_mismatch(make_work(), work_report{ static_cast<std::uint8_t>(end), "r1", 2, 0 }), work_mismatch::NONE);
	}
}

TEST(work_report, an_unknown_end_is_rejected) {
	work_report report = make_report();
	report.end = static_cast<std::uint8_t>(work_end::DROPPED) + 1;
	EXPECT_EQ(find_mismatch(make_work(), report), work_mismatch::END);
	EXPECT_EQ(get_name(work_mismatch::END), "end");
}

} // namespace calicoscale
