package org.sardinebay.records;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios about records. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.sardinebay.records")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.sardinebay.records")
class RecordsTest {}
