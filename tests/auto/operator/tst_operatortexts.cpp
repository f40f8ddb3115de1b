#include <operator/fleetreport.h>

#include <gtest/gtest.h>

namespace Verbena::Operator {

namespace {

TEST(FleetReportTest, showsWhoLagsAndWhoDiverged)
{
    std::vector<ProcessReport> reports;
    reports.push_back(readProcessReport("a:1", R"({"name":"r1","settings":{"revision":9,"hash":18446744073709551615,"verified_age_seconds":0.25}})"));
    reports.push_back(readProcessReport("b:1", R"({"name":"r2","settings":{"revision":9,"hash":18446744073709551615,"verified_age_seconds":null}})"));
    reports.push_back(readProcessReport("c:1", R"({"name":"r3","settings":{"revision":9,"hash":4,"verified_age_seconds":1}})"));
    reports.push_back(readProcessReport("d:1", R"({"name":"r4","settings":{"revision":7,"hash":5,"verified_age_seconds":300}})"));
    reports.push_back(readProcessReport("e:1", "oops"));
    const std::string text = renderFleet(reports, 9);
    EXPECT_NE(text.find("a:1  r1  revision 9  verified 0.2s ago\n"), std::string::npos) << text;
    EXPECT_NE(text.find("b:1  r2  revision 9  verified never ago\n"), std::string::npos) << text;
    EXPECT_NE(text.find("c:1  r3  revision 9  verified 1.0s ago  DIVERGED\n"), std::string::npos) << text;
    EXPECT_NE(text.find("d:1  r4  revision 7  verified 300.0s ago  LAGS by 2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("e:1  no report:"), std::string::npos) << text;
    EXPECT_NE(text.find("1 of 5 processes lag"), std::string::npos) << text;
}

} // namespace

} // namespace Verbena::Operator
