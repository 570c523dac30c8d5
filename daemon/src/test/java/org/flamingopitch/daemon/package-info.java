/** Tests of rules that hold for the code of all modules. */
package org.flamingopitch.daemon;
