/** A small stand-in for the platform's workers: they start what they are given, whether it fits or not. */
package org.flamingopitch.standins.worker;
